package org.anvilshed.core

/**
 * Why the outcome of a request is unknown: the request may have been executed or not.
 *
 * @property label value of the `Anvilshed-Reason` header and of the `reason` metric label.
 */
public enum class UnknownReason(public val label: String) {
    DEADLINE_PASSED("deadline-passed"),
    TARGET_CONNECTION_LOST("target-connection-lost"),
    PEER_CONNECTION_LOST("peer-connection-lost"),
    OWNER_UNREACHABLE("owner-unreachable"),
    OWNER_REPLACED("owner-replaced"),
    IDENTIFIER_EXPIRED("identifier-expired"),
    STILL_RUNNING("still-running"),
    ANSWER_NOT_RETAINED("answer-not-retained"),
    BODY_TOO_LARGE("body-too-large"),
    CANCELLED("cancelled"),
}
