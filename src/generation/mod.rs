//! Generations: attempts, token journal, resume, takeover.
