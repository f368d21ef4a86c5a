package org.anvilshed.wire.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Entry of the platform's VM list, which may be outdated. */
@Serializable
public data class PlatformVm(
    public val name: String,
    public val role: PlatformVmRole,
    public val zone: String,
    public val address: String,
    public val state: PlatformVmState,
)

/** Role of a VM. */
@Serializable
public enum class PlatformVmRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("target")
    TARGET,
}

/** State of a VM according to the platform. */
@Serializable
public enum class PlatformVmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
