//! The configuration in force on this instance.

use arc_swap::{ArcSwap, Guard};
use base::prelude::*;

use crate::Doc;

/// The configuration in force; it is replaced whole and never goes back.
#[derive(Debug, Default)]
pub struct ActiveDoc {
    doc: ArcSwap<Doc>,
}

impl ActiveDoc {
    /// Returns the document in force.
    pub fn load(&self) -> Guard<Arc<Doc>> {
        self.doc.load()
    }

    /// Returns the document in force, to be kept over an await.
    pub fn load_full(&self) -> Arc<Doc> {
        self.doc.load_full()
    }

    /// Puts a document in force if its version is newer and returns whether it was.
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
