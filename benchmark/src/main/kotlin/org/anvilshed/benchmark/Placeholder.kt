package org.anvilshed.benchmark

internal const val PLACEHOLDER: Int = 0
