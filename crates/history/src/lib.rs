//! Recorded histories of concurrent runs: invocations, responses and engine run logs.
