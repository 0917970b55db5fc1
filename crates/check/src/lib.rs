//! History checker: says which promise a recorded run broke, and at which event.
