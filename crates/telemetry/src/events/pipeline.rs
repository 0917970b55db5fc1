//! Events of the request path: numbers 2000 to 2999.

crate::event_codes! {
    REQUEST_REFUSED = 2000, Info, "A request was refused and not run; the fields give the step, the peer and the reason.";
    OUTCOME_UNKNOWN = 2001, Warn, "A request got no whole answer and may have run; its caller was told so.";
    CALLER_HUNG_UP = 2002, Info, "A caller closed its connection before its answer was whole; the engine's work is cancelled.";
    ATTEMPT_FAILED = 2003, Info, "An engine did not take a request; another attempt follows where that is safe. Many of these for one engine: look at that engine.";
    STREAM_BROKEN = 2004, Info, "The stream of an answer broke, stalled or had a gap; it is resumed or continued where that is safe.";
    STREAM_RESUMED = 2005, Info, "The stream of an answer was taken up again at its engine.";
    ANSWER_CONTINUED = 2006, Info, "An answer goes on at another engine, after the tokens that were delivered.";
    EVENT_DROPPED = 2007, Debug, "A stream event was repeated or belonged to another request, and was not passed on.";
    RETRY_BUDGET_SPENT = 2008, Warn, "A request was not tried again because the retry budget is spent. The engines fail more often than the budget bears.";
    PASS_THROUGH_FAILED = 2009, Warn, "The legacy upstream of a route did not answer.";
    BREAKER_OPENED = 2010, Warn, "An engine failed to answer several times in a row and gets no requests for a while; then single ones until it answers.";
    CLAIM_REFUSED = 2011, Info, "A request that may not be repeated was not dispatched, because its claim was not granted; the fields give the reason.";
    CLAIM_HOLDER_SILENT = 2012, Debug, "A claim holder did not answer in time; a majority of the others is enough.";
    CALLER_STALLED = 2013, Info, "A caller did not read its stream until the deadline; the engine's work is cancelled.";
}
