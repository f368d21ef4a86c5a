package org.anvilshed.core.membership

/** Action to take after a heartbeat was received. */
public sealed interface DisseminationAction {
    /** No action is needed. */
    public data object None : DisseminationAction

    /** Request the bundle [version] from the sender immediately. */
    public data class RequestBundle(public val version: Long) : DisseminationAction

    /** Send a heartbeat to the sender immediately: the sender has an older bundle and then requests the newer one. */
    public data object AnnounceOwn : DisseminationAction

    /** Count a conflict: the sender has a different bundle with the version in force here, which stays in force. */
    public data class OtherDigest(public val advertised: AdvertisedBundle) : DisseminationAction
}
