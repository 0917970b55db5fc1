//! A model of an inference engine: batching, prefix cache with eviction and timing, no input or output.
