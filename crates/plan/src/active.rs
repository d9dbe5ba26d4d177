//! The configuration that this instance uses.

use arc_swap::{ArcSwap, Guard};
use base::prelude::*;

use crate::Doc;

/// The newest configuration document known to this instance.
///
/// It is replaced as a whole, and only by a newer version. Before the first document its version
/// is 0.
#[derive(Debug, Default)]
pub struct ActiveDoc {
    doc: ArcSwap<Doc>,
}

impl ActiveDoc {
    /// Returns the current document, for use without an await in between.
    pub fn load(&self) -> Guard<Arc<Doc>> {
        self.doc.load()
    }

    /// Returns the current document, for use across await points.
    pub fn load_full(&self) -> Arc<Doc> {
        self.doc.load_full()
    }

    /// Replaces the document if the new version is higher; returns true if it was.
    ///
    /// # Examples
    ///
    /// ```
    /// use plan::{ActiveDoc, Doc};
    /// let active = ActiveDoc::default();
    /// assert!(active.replace_if_newer(Doc { version: 2, ..Doc::default() }));
    /// assert!(!active.replace_if_newer(Doc { version: 1, ..Doc::default() }));
    /// ```
    pub fn replace_if_newer(&self, doc: Doc) -> bool {
        let doc = Arc::new(doc);
        let before = self.doc.rcu(|current| {
            let is_newer = doc.version > current.version;
            Arc::clone(if is_newer { &doc } else { current })
        });
        doc.version > before.version
    }
}
