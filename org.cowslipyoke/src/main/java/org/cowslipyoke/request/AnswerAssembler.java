package org.cowslipyoke.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32C;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Tokens;

/**
 * Assembles an answer from the tokens of one or more streams. Drops duplicates, detects gaps, and
 * compares the token count and the checksum at the end.
 */
final class AnswerAssembler {

  /** Result of checking an answer against its end message. */
  enum Verdict {
    /** Token count and checksum match. */
    COMPLETE,
    /** Tokens are missing; the answer can be resumed. */
    GAP,
    /** The answer differs from what the server sent; it cannot be repaired. */
    CORRUPT
  }

  private final List<String> pieces = new ArrayList<>();
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final CRC32C crc = new CRC32C();

  /** Returns the offset of the next expected token. */
  long offset() {
    return pieces.size();
  }

  /** Returns the text received so far, UTF-8. */
  byte[] text() {
    return text.toByteArray();
  }

  /** Returns the text of each token received so far. */
  List<String> pieces() {
    return Collections.unmodifiableList(pieces);
  }

  /** Returns whether tokens are missing between those received so far and {@code t}. */
  boolean leavesGap(Tokens t) {
    return t.offset() > offset();
  }

  /**
   * Adds tokens and returns the new ones. Tokens that were received before are dropped; tokens that
   * leave a gap are not added.
   */
  List<String> add(Tokens t) {
    long duplicates = offset() - t.offset();
    if (t.offset() < 0 || duplicates < 0 || duplicates >= t.pieces().size()) {
      return List.of();
    }
    List<String> added = List.copyOf(t.pieces().subList((int) duplicates, t.pieces().size()));
    for (String p : added) {
      byte[] b = p.getBytes(StandardCharsets.UTF_8);
      pieces.add(p);
      text.writeBytes(b);
      crc.update(b, 0, b.length);
    }
    return added;
  }

  /** Compares the token count and the checksum with those of the end message. */
  Verdict verify(End end) {
    if (end.tokenCount() > offset()) {
      return Verdict.GAP;
    }
    boolean same = end.tokenCount() == offset() && end.checksum() == crc.getValue();
    return same ? Verdict.COMPLETE : Verdict.CORRUPT;
  }
}
