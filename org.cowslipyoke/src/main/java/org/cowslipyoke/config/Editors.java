package org.cowslipyoke.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.cowslipyoke.util.Digests;

/**
 * Hashes of the credentials that may change a section. The section name is part of the hash, so a
 * hash copied into another section gives no access there. Credentials are random text, so a plain
 * SHA-256 without a slow derivation is sufficient.
 *
 * @param hashes SHA-256 of {@code <section>:<credential>} in hexadecimal
 */
public record Editors(List<String> hashes) {

  /** Returns the hash of a credential for a section. */
  public static String hash(Section section, String credential) {
    return Digests.sha256Hex(section.wireName() + ":" + credential);
  }

  /** Returns whether the credential may change the section. */
  public boolean permits(Section section, String credential) {
    byte[] own = hash(section, credential).getBytes(StandardCharsets.US_ASCII);
    boolean found = false;
    for (String h : hashes) {
      found |= MessageDigest.isEqual(own, h.getBytes(StandardCharsets.US_ASCII));
    }
    return found;
  }
}
