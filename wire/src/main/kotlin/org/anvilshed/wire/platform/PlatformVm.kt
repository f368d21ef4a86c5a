package org.anvilshed.wire.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A VM in the list of the platform, which lags. */
@Serializable
public data class PlatformVm(
    public val name: String,
    public val role: PlatformVmRole,
    public val zone: String,
    public val address: String,
    public val state: PlatformVmState,
)

/** What a VM is for. */
@Serializable
public enum class PlatformVmRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("target")
    TARGET,
}

/** State of a VM as the platform sees it. */
@Serializable
public enum class PlatformVmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
