package org.anvilshed.core

/**
 * Why a request is retried.
 *
 * @property label value of the `reason` metric label.
 */
public enum class RetryReason(public val label: String) {
    TARGET_SHED("target-shed"),
    TARGET_CONNECTION_REFUSED("target-connection-refused"),
    TARGET_CONNECTION_LOST("target-connection-lost"),
    PEER_REFUSED("peer-refused"),
    PEER_CONNECTION_LOST("peer-connection-lost"),
}
