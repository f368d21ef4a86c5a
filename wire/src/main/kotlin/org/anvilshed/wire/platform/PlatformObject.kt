package org.anvilshed.wire.platform

/**
 * An object read from the platform.
 *
 * @property version version to expect in a conditional update of this content.
 */
public class PlatformObject(public val version: Long, public val body: ByteArray)
