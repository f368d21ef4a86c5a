package org.anvilshed.standins

import java.security.KeyPairGenerator
import java.util.Base64

/**
 * Newly generated Ed25519 key pair of the sample operator [name].
 *
 * @property publicKey base64 of the X.509 form.
 * @property privateKey base64 of the PKCS #8 form.
 */
public class OperatorKeys(public val name: String) {
    private val pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()

    public val publicKey: String = Base64.getEncoder().encodeToString(pair.public.encoded)
    public val privateKey: String = Base64.getEncoder().encodeToString(pair.private.encoded)
}
