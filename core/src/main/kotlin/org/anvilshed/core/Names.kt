package org.anvilshed.core

import kotlinx.serialization.Serializable

private const val MAXIMUM_NAME_LENGTH = 63
private val NAME_PATTERN = Regex("[a-z0-9]([a-z0-9-]*[a-z0-9])?")

/**
 * Returns whether [text] is a valid name of an entry VM, zone, region, service, request kind or target:
 * 1 to 63 lower-case letters, digits and inner hyphens.
 *
 * Names contain no dot, since a dot separates the parts of a request identifier.
 */
public fun isValidName(text: String): Boolean = text.length <= MAXIMUM_NAME_LENGTH && NAME_PATTERN.matches(text)

private fun invalidNameMessage(text: String): String =
    "'$text' is not a name: expected 1 to $MAXIMUM_NAME_LENGTH lower-case letters, digits and inner hyphens"

/**
 * Name of an entry VM. The replacement of a VM may reuse its name; see [Incarnation].
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class VmName(public val value: String) : Comparable<VmName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: VmName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Name of an availability zone.
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class ZoneName(public val value: String) : Comparable<ZoneName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: ZoneName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Name of a region.
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class RegionName(public val value: String) : Comparable<RegionName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: RegionName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Name of a service.
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) : Comparable<ServiceName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Name of a request kind of a service.
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class KindName(public val value: String) : Comparable<KindName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: KindName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Name of a target; unique over all services of a bundle.
 *
 * @throws IllegalArgumentException if [value] is not a valid name, see [isValidName].
 */
@Serializable
@JvmInline
public value class TargetName(public val value: String) : Comparable<TargetName> {
    init {
        require(isValidName(value)) { invalidNameMessage(value) }
    }

    override fun compareTo(other: TargetName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
