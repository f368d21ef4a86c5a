package org.anvilshed.wire.platform

import java.security.PrivateKey

/** Name and private key of the operator who calls a procedure. */
public class OperatorCredentials(public val name: String, public val privateKey: PrivateKey)
