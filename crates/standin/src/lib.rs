//! Small stand-ins for the engine, object store, machine list, weight store and KV store, with fault switches.
