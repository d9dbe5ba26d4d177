//! Validation of a configuration document, and the effects of a change.

use crate::Doc;
use crate::doc::Kind;

/// Returns all faults of a document, empty if it is valid.
///
/// Each model and service must name at least one upstream. Each named upstream must exist, as an
/// engine for a model and as a plain service for a service.
#[must_use]
pub fn faults(doc: &Doc) -> Vec<String> {
    let mut faults = Vec::new();
    let models = doc.models.iter().map(|(id, model)| ("model", id, &model.upstreams, Kind::Engine));
    let services =
        doc.services.iter().map(|(id, service)| ("service", id, &service.upstreams, Kind::Service));
    for (what, id, upstreams, kind) in models.chain(services) {
        if upstreams.is_empty() {
            faults.push(format!("{what} '{id}': no upstream is named"));
        }
        for upstream in upstreams {
            match doc.upstreams.get(upstream) {
                None => faults.push(format!("{what} '{id}': upstream '{upstream}' does not exist")),
                Some(row) if row.kind != kind => {
                    faults.push(format!("{what} '{id}': upstream '{upstream}' is of another kind"));
                }
                Some(_) => {}
            }
        }
    }
    faults
}

/// Returns the effects of a change on requests, as sentences for operators.
#[must_use]
pub fn effects(before: &Doc, after: &Doc) -> Vec<String> {
    let lost = lost_routes(before, after)
        .into_iter()
        .map(|what| format!("requests for {what} lose their route"));
    let drained = after.upstreams.iter().filter(|(id, upstream)| {
        upstream.draining && before.upstreams.get(*id).is_some_and(|old| !old.draining)
    });
    let drained = drained.map(|(id, _)| format!("upstream '{id}' gets no new work"));
    lost.chain(drained).collect()
}

/// Returns the models and services that lose their last usable upstream.
fn lost_routes(before: &Doc, after: &Doc) -> Vec<String> {
    let (old, new) = (routable(before), routable(after));
    old.into_iter().filter(|what| !new.contains(what)).collect()
}

/// Returns the models and services with at least one upstream that is not draining.
fn routable(doc: &Doc) -> Vec<String> {
    let accepts_work = |id| doc.upstreams.get(id).is_some_and(|upstream| !upstream.draining);
    let models = doc.models.iter().map(|(id, row)| (format!("model '{id}'"), &row.upstreams));
    let services = doc.services.iter().map(|(id, row)| (format!("service '{id}'"), &row.upstreams));
    let routable =
        models.chain(services).filter(|(_, upstreams)| upstreams.iter().any(accepts_work));
    routable.map(|(what, _)| what).collect()
}
