//! A content together with the version that it belongs to.

use crate::content::Content;
use crate::digest::VersionId;
use std::sync::Arc;

/// A content and the version it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedContent {
    /// The version.
    pub version: VersionId,
    /// The whole content after it.
    pub content: Arc<Content>,
}
