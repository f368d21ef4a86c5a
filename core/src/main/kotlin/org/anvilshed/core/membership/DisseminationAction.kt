package org.anvilshed.core.membership

/** What to do after a heartbeat. */
public sealed interface DisseminationAction {
    /** Nothing to do. */
    public data object None : DisseminationAction

    /** Request the bundle [version] from the sender at once. */
    public data class RequestBundle(public val version: Long) : DisseminationAction

    /** Send a heartbeat to the sender at once, since it has an older bundle; it requests the newer one itself. */
    public data object AnnounceOwn : DisseminationAction

    /** The sender has another bundle of the version in force; the own one stays. Count it. */
    public data class OtherDigest(public val theirs: AdvertisedBundle) : DisseminationAction
}
