package org.anvilshed.standins

internal const val PLACEHOLDER: Int = 0
