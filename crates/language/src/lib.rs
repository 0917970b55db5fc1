//! The operators' query and command language: grammar, syntax tree and errors with columns.
