//! Path of a key in a configuration text, such as `target[3].model[0].name`.

use std::fmt;

use smallvec::SmallVec;

/// One step of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Into a table.
    Key(&'static str),
    /// Into an array, counted from 0.
    Index(usize),
}

/// Path of a key in a configuration text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath {
    steps: SmallVec<[Step; 5]>,
}

impl KeyPath {
    /// Creates a path to one key of the whole document.
    pub fn new(key: &'static str) -> Self {
        Self::default().with_key(key)
    }

    /// Creates a path to one entry of an array of tables, counted from 0.
    pub fn entry(array: &'static str, index: usize) -> Self {
        Self::new(array).with_index(index)
    }

    /// Goes on to a key of the table reached so far.
    pub fn with_key(&self, key: &'static str) -> Self {
        self.with_step(Step::Key(key))
    }

    /// Goes on to an element of the array reached so far, counted from 0.
    pub fn with_index(&self, index: usize) -> Self {
        self.with_step(Step::Index(index))
    }

    /// Returns the steps, outermost first.
    pub(crate) fn steps(&self) -> &[Step] {
        &self.steps
    }

    fn with_step(&self, step: Step) -> Self {
        let mut longer = self.clone();
        longer.steps.push(step);
        longer
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, step) in self.steps.iter().enumerate() {
            match step {
                Step::Key(key) if n == 0 => f.write_str(key)?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
