package org.anvilshed.core

/**
 * Why a request was refused without being executed.
 *
 * @property label value of the `Anvilshed-Reason` header and of the `reason` metric label.
 */
public enum class RefusalReason(public val label: String) {
    MALFORMED("malformed"),
    UNKNOWN_SERVICE("unknown-service"),
    UNKNOWN_KIND("unknown-kind"),
    BODY_TOO_LARGE("body-too-large"),
    NO_BUNDLE("no-bundle"),
    NO_SEAT("no-seat"),
    NO_SLOT("no-slot"),
    NO_TARGET("no-target"),
    LINK_LIMIT("link-limit"),
    REGION_LIMIT("region-limit"),
    SHIFT_CAP("shift-cap"),
    QUEUE_FULL("queue-full"),
    DEADLINE_TOO_SHORT("deadline-too-short"),
    DEADLINE_PASSED("deadline-passed"),
    RETRY_BUDGET("retry-budget"),
    RECORDS_FULL("records-full"),
    TARGET_SHED("target-shed"),
    PEER_UNREACHABLE("peer-unreachable"),
    LEAVING("leaving"),
    CANCELLED("cancelled"),
}
