package org.cowslipyoke.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32C;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Tokens;

/** Collects an answer and checks that it is whole: no gap, no repetition, count and checksum. */
final class AnswerCheck {

  /** Verdict on the end of an answer. */
  enum Verdict {
    WHOLE,
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

  /** Returns the text so far, UTF-8. */
  byte[] text() {
    return text.toByteArray();
  }

  /** Returns the tokens so far. */
  List<String> pieces() {
    return Collections.unmodifiableList(pieces);
  }

  /** Returns whether tokens before these are missing. */
  boolean isAhead(Tokens t) {
    return t.offset() > offset();
  }

  /** Adds tokens and returns the new ones; tokens that were received before are dropped. */
  List<String> accept(Tokens t) {
    long known = offset() - t.offset();
    if (t.offset() < 0 || known < 0 || known >= t.pieces().size()) {
      return List.of();
    }
    List<String> fresh = List.copyOf(t.pieces().subList((int) known, t.pieces().size()));
    for (String p : fresh) {
      byte[] b = p.getBytes(StandardCharsets.UTF_8);
      pieces.add(p);
      text.writeBytes(b);
      crc.update(b, 0, b.length);
    }
    return fresh;
  }

  /** Checks the count and the checksum. */
  Verdict verify(End end) {
    if (end.tokenCount() > offset()) {
      return Verdict.GAP;
    }
    boolean same = end.tokenCount() == offset() && end.checksum() == crc.getValue();
    return same ? Verdict.WHOLE : Verdict.CORRUPT;
  }
}
