//! Content of a known version.

use crate::content::Content;
use crate::digest::VersionId;
use std::sync::Arc;

/// A content with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedContent {
    /// The version.
    pub version: VersionId,
    /// The whole content of the version.
    pub content: Arc<Content>,
}
