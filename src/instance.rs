//! One entry instance: its parts and how they are wired.
