package org.cowslipyoke.transport;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.relay.WeightStatements.Statement;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Statements on the weights of servers as one datagram: the array [name, statements], whose name
 * tells it apart from other reports. A statement is the four elements incarnation, model, version,
 * and 1 if the server is loading or else 0.
 */
public final class WeightStatementCodec {

  /** Maximum number of statements in a datagram. */
  public static final int MAX_STATEMENTS = 24;

  private static final String NAME = "model-weights";
  private static final byte[] PREFIX = Datagrams.namedPrefix(2, NAME);

  private WeightStatementCodec() {}

  /** Returns whether a datagram claims to contain statements. */
  public static boolean isReport(byte[] bytes, int length) {
    return Datagrams.startsWith(bytes, length, PREFIX);
  }

  /** Encodes at most {@link #MAX_STATEMENTS} statements. */
  public static byte[] encode(List<Statement> statements) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(2).packString(NAME).packArrayHeader(statements.size());
          for (Statement s : statements) {
            p.packString(s.incarnation()).packString(s.model());
            p.packInt(s.version()).packInt(s.loading() ? 1 : 0);
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static List<Statement> decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "statements on weights",
        (u, f) -> {
          if (f.header() != 2 || !f.name().equals(NAME)) {
            throw new MalformedResponseException("unknown format of statements on weights");
          }
          int n = f.header();
          if (n > MAX_STATEMENTS) {
            throw new MalformedResponseException("too many statements on weights: " + n);
          }
          List<Statement> all = new ArrayList<>();
          for (int i = 0; i < n; i++) {
            all.add(new Statement(f.name(), f.name(), u.unpackInt(), u.unpackInt() == 1));
          }
          return List.copyOf(all);
        });
  }
}
