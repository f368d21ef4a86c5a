package org.anvilshed.core.bundle

/** Finite numbers from [minimum], which is excluded if [minimumExcluded], to [maximum]. */
internal class NumberRange(
    private val minimum: Double,
    private val maximum: Double,
    private val minimumExcluded: Boolean = false,
) {
    operator fun contains(number: Double): Boolean =
        number <= maximum && (if (minimumExcluded) number > minimum else number >= minimum)

    override fun toString(): String =
        if (minimumExcluded) "greater than $minimum and at most $maximum" else "from $minimum to $maximum"
}
