//! The path of a request: a fixed list of filters over one context per request.
