package org.anvilshed.core

import kotlinx.serialization.Serializable

/** Identity of one process of an entry VM: the VM's [name] and the process's [incarnation]. */
@Serializable
public data class VmIdentity(public val name: VmName, public val incarnation: Incarnation) {
    override fun toString(): String = "$name.$incarnation"
}
