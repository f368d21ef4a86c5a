package org.anvilshed.daemon.http

import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason

/** Returns the message that explains [reason] to a person. */
@Suppress("CyclomaticComplexMethod") // One branch for each reason, so that the compiler reports a missing reason.
internal fun messageOf(reason: RefusalReason): String = when (reason) {
    RefusalReason.MALFORMED ->
        "a header is malformed: Anvilshed-Deadline-Ms is 1 to the kind's maximum, and a non-idempotent kind needs " +
            "Anvilshed-Request-Id of the form <token>.<nonce> with 8 to 64 characters of [A-Za-z0-9_-] as nonce"

    RefusalReason.UNKNOWN_SERVICE -> "the bundle in force lists no such service"
    RefusalReason.UNKNOWN_KIND -> "the service has no such kind of requests"
    RefusalReason.BODY_TOO_LARGE -> "the body is longer than the service allows"
    RefusalReason.NO_BUNDLE -> "this entry VM has no bundle yet"
    RefusalReason.NO_SEAT -> "this entry VM holds no valid seats"
    RefusalReason.NO_SLOT -> "no target has a free slot"
    RefusalReason.NO_TARGET -> "no target of the service can be used"
    RefusalReason.LINK_LIMIT -> "the link to the other region is at its limit"
    RefusalReason.REGION_LIMIT -> "the region is at its limit of requests"
    RefusalReason.SHIFT_CAP -> "the cap on requests served in other regions is reached"
    RefusalReason.QUEUE_FULL -> "the queue of the service is full"
    RefusalReason.DEADLINE_TOO_SHORT -> "the request cannot be served before its deadline"
    RefusalReason.DEADLINE_PASSED -> "the deadline passed before the request was sent to a target"
    RefusalReason.RETRY_BUDGET -> "the attempts did not run, and the retry budget of the service is used up"
    RefusalReason.RECORDS_FULL -> "this entry VM keeps as many records of requests as it may"
    RefusalReason.TARGET_SHED -> "the target shed the request"
    RefusalReason.PEER_UNREACHABLE -> "the chosen entry VM cannot be reached"
    RefusalReason.LEAVING -> "this entry VM is leaving"
    RefusalReason.CANCELLED -> "the request was cancelled before it was sent to a target"
}

/** Returns the message that explains [reason] to a person. */
internal fun messageOf(reason: UnknownReason): String = when (reason) {
    UnknownReason.DEADLINE_PASSED -> "the deadline passed after the request was sent"
    UnknownReason.TARGET_CONNECTION_LOST -> "the connection to the target was lost after the request was sent"
    UnknownReason.PEER_CONNECTION_LOST -> "the connection to the other entry VM was lost after the request was sent"
    UnknownReason.OWNER_UNREACHABLE -> "the entry VM that owns the request identifier cannot be reached"
    UnknownReason.OWNER_REPLACED -> "the process that owns the request identifier has ended"
    UnknownReason.IDENTIFIER_EXPIRED -> "the request identifier is too old"
    UnknownReason.STILL_RUNNING -> "an earlier arrival of the request is still running"
    UnknownReason.ANSWER_NOT_RETAINED -> "the request was answered, but its answer was too large to be kept"
    UnknownReason.BODY_TOO_LARGE -> "the body turned out to be too long after the request was sent"
    UnknownReason.CANCELLED -> "the request was cancelled after it was sent"
}
