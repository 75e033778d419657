//! Paths of keys in a configuration text, such as `target[3].model[0].name`.

use std::fmt;

use smallvec::SmallVec;

/// Segment of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Segment {
    /// Key of a table.
    Key(&'static str),
    /// Index into an array, starting at 0.
    Index(usize),
}

/// Path of a key in a configuration text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath {
    segments: SmallVec<[Segment; 5]>,
}

impl KeyPath {
    /// Creates a path to a top-level key.
    pub fn new(key: &'static str) -> Self {
        Self::default().with_key(key)
    }

    /// Creates a path to an entry of a top-level array; `index` starts at 0.
    pub fn entry(array: &'static str, index: usize) -> Self {
        Self::new(array).with_index(index)
    }

    /// Returns the path to a key of the table at this path.
    pub fn with_key(&self, key: &'static str) -> Self {
        self.with_segment(Segment::Key(key))
    }

    /// Returns the path to an element of the array at this path; `index` starts at 0.
    pub fn with_index(&self, index: usize) -> Self {
        self.with_segment(Segment::Index(index))
    }

    /// Returns the segments, outermost first.
    pub(crate) fn segments(&self) -> &[Segment] {
        &self.segments
    }

    fn with_segment(&self, segment: Segment) -> Self {
        let mut path = self.clone();
        path.segments.push(segment);
        path
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, segment) in self.segments.iter().enumerate() {
            match segment {
                Segment::Key(key) if n == 0 => f.write_str(key)?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
