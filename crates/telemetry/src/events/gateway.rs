//! Events of the gateway: numbers 6000 to 6999.

crate::event_codes! {
    GATEWAY_STARTED = 6000, Info, "The gateway listens; the fields give its addresses.";
    GATEWAY_STOPPING = 6001, Info, "A planned stop has begun: the gateway is not ready any more and finishes open requests.";
    GATEWAY_STOPPED = 6002, Info, "The gateway ends; the fields tell how many requests were still open.";
    SETTINGS_RELOADED = 6003, Info, "The settings file was read again and is in force.";
    SETTINGS_REJECTED = 6004, Error, "The settings file was read again and is faulty; the earlier settings stay in force.";
    LOG_LINES_DROPPED = 6005, Warn, "Log lines were dropped since more came than may be written; the field counts them.";
    REQUEST_SENT = 6100, Info, "A request was sent to a replica; the fields give the route, the configuration's version, the age of its proof, and why the replica was chosen.";
    ATTEMPT_ENDED = 6101, Info, "A replica did not serve a request; the fields tell what its answer was taken for.";
    REQUEST_ENDED = 6102, Info, "A request got its whole answer from a replica; for a stream the fields give the time to its first event and the longest pause.";
    CALLER_REFUSED = 6103, Info, "A request got an answer of the gateway's own; the fields give the step, the peer, the reason and the time to come back.";
    CALLER_LEFT = 6104, Info, "A caller closed its connection before its answer was whole; its replica's work is cancelled.";
    STREAM_MOVED = 6105, Info, "A broken stream goes on at another replica after the last event that was passed on.";
    STREAM_CUT = 6106, Warn, "A stream broke and can't go on; its caller's connection is closed without the end of the answer.";
    BUDGET_SPENT = 6107, Warn, "A request was not sent again since the budget of its service is spent.";
    REQUEST_WITHDRAWN = 6108, Warn, "A request had not begun at its replica when the weights there became too old; its connection was closed, and it goes to another replica where it may run again.";
    CONFIGURATION_TAKEN = 6200, Info, "A newer configuration is in force.";
    ENTRY_REJECTED = 6201, Error, "An object of the store, a replica's report, a page of cached parts or a datagram can't be read: another writer may have made it. A replica's entry then names no replica to use, a lease counts as held by another, of all other kinds what was in force stays. Logged once for each name and reason; the metric `rejected` counts all.";
    STORE_LOST = 6202, Warn, "The store does not answer; the field tells which task noticed it.";
    STORE_REGAINED = 6203, Info, "The store answers again.";
    CURRENCY_LOST = 6204, Warn, "The configuration is not known to be current any more: requests that need a key are refused until it is.";
    CALLERS_WELCOME = 6206, Info, "The configuration and the replicas are known and current: callers may come.";
    STORE_DOWN_FOR_ALL = 6207, Warn, "The store seems to be down for every daemon of the group: the time until it is back does not count against replicas with older weights.";
    WEIGHTS_WANTED = 6205, Info, "The operator named new weights.";
    REPLICA_SEEN = 6300, Info, "A life of a replica is listed for the first time; one that starts again under its id begins another life.";
    REPLICA_CHANGED = 6301, Info, "The entry of a replica has changed.";
    REPLICA_GONE = 6302, Info, "The entry of a replica is gone; it gets no new requests. The reason tells whether it left, or lapsed and has not come back.";
    REPLICA_SUSPECT = 6303, Warn, "A replica could not be reached or broke off; it gets no requests for the time given.";
    REPLICA_WELL = 6304, Info, "A replica that was suspect has answered.";
    REPLICA_LAPSED = 6305, Info, "The entry of a replica is gone after an outage of the store; it stays in use for a while, since it may come back. The fields tell how old the view of the replicas was, how long ago the last call began that the store failed this daemon itself, and whom it asks.";
    REPLICA_ENDED = 6306, Warn, "A replica has ended while requests of this gateway were open there: their answers broke off, and its address refuses connections. The fields give the fingerprints of these requests; the same request has the same one at every gateway and in every try.";
    ORDER_LEASE_ACQUIRED = 6400, Info, "This daemon may give orders, under the token given.";
    ORDER_LEASE_NOT_ACQUIRED = 6401, Info, "Another daemon holds the lease, or the store did not say; it is tried again.";
    ORDER_LEASE_LOST = 6402, Warn, "This daemon may not give orders any more.";
    ORDER_ANSWERED = 6403, Info, "A replica answered an order to load weights.";
    ORDER_LOST = 6404, Warn, "An order has no answer; it may have been taken, or may be taken later.";
    WEIGHTS_LOADED = 6405, Info, "A replica has new weights.";
    REQUEST_STRUCK = 6600, Info, "A replica ended while a request was open there; the fields give the request's fingerprint, the digest of the replica's life (see 6306), how many ends count against the request by now, and who told.";
    REQUEST_CLEARED = 6601, Info, "A request that was open at replicas as they ended was answered whole: nothing counts against it any more.";
    REQUEST_QUARANTINED = 6602, Warn, "A request ended too many replicas; no replica gets it any more, whoever sends it. The fields give its fingerprint and the digests of the replicas' lives (see 6306).";
    REQUEST_RELEASED = 6603, Warn, "An operator took a request out of quarantine.";
    REQUEST_TRIED = 6604, Warn, "A request in quarantine is sent to one replica, by one daemon: it has been there for long, in case that the replicas were mended; or others were open at the same ends, and one of them may be the cause.";
    QUARANTINE_NOT_KEPT = 6605, Warn, "The store did not take, or did not remove, the record of a request that ended replicas; it is tried again. All daemons know it meanwhile.";
    SOURCE_CHANGED = 6501, Info, "This daemon learns what is in force from another source: the store, or the daemon named.";
    PEER_LOST = 6500, Warn, "Another daemon could not be told something; it learns it from the store.";
}
