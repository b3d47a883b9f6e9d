package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.profile.LearnedModel;
import org.cowslipyoke.relay.profile.ProfileDigest;
import org.cowslipyoke.relay.profile.ProfileDigest.ServerDigest;
import org.cowslipyoke.util.MalformedResponseException;
import org.msgpack.core.MessageBufferPacker;

/**
 * A digest of engine profiles as one datagram: the map {1: [vm, started, sequence, services,
 * servers]}, where services is a map from a service to [coefficients of the first token, their
 * count, coefficients of the gap, their count] and servers an array of [key, mean logarithm, count,
 * slowness]. Coefficients are in thousandths, logarithms and slowness in hundredths. Other reports
 * to the same port are arrays.
 */
public final class ProfileDigestCodec {

  private static final int FORMAT = 1;
  private static final int FIELDS = 5;
  private static final int MODEL_FIELDS = 4;
  private static final int SERVER_FIELDS = 4;

  /** First byte of a MessagePack map of one entry. */
  private static final byte FIRST_BYTE = (byte) 0x81;

  private static final double COEFFICIENT_UNIT = 1e-3;
  private static final double SERVER_UNIT = 1e-2;

  /** Maximum number of coefficients of one kind. */
  private static final int MAX_COEFFICIENTS = 16;

  private ProfileDigestCodec() {}

  /** Returns whether a datagram claims to be a digest of profiles. */
  public static boolean isDigest(byte[] bytes, int length) {
    return length > 1 && bytes[0] == FIRST_BYTE && bytes[1] == FORMAT;
  }

  /** Encodes a digest. */
  public static byte[] encode(ProfileDigest d) {
    return Datagrams.encode(
        p -> {
          p.packMapHeader(1).packInt(FORMAT).packArrayHeader(FIELDS);
          p.packString(d.vm()).packLong(d.startedMs()).packLong(d.sequence());
          p.packMapHeader(d.services().size());
          for (Map.Entry<String, LearnedModel> e : d.services().entrySet()) {
            LearnedModel m = e.getValue();
            p.packString(e.getKey()).packArrayHeader(MODEL_FIELDS);
            packCoefficients(p, m.first(), m.firstCount());
            packCoefficients(p, m.gap(), m.gapCount());
          }
          p.packArrayHeader(d.servers().size());
          for (ServerDigest s : d.servers()) {
            p.packArrayHeader(SERVER_FIELDS).packInt(s.key());
            p.packLong(Math.round(s.meanLog() / SERVER_UNIT)).packLong(Math.round(s.count()));
            p.packLong(Math.round(s.slowness() / SERVER_UNIT));
          }
        });
  }

  private static void packCoefficients(MessageBufferPacker p, List<Double> values, double count)
      throws IOException {
    p.packArrayHeader(values.size());
    for (double v : values) {
      p.packLong(Math.round(v / COEFFICIENT_UNIT));
    }
    p.packLong(Math.round(count));
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no digest of this format
   */
  public static ProfileDigest decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "profile digest",
        (u, f) -> {
          if (u.unpackMapHeader() != 1 || f.count() != FORMAT || f.header() != FIELDS) {
            throw new MalformedResponseException("unknown format of a profile digest");
          }
          String vm = f.name();
          long startedMs = f.size();
          long sequence = f.size();
          Map<String, LearnedModel> services = new HashMap<>();
          int n = bounded(u.unpackMapHeader(), ProfileDigest.MAX_SERVICES);
          for (int i = 0; i < n; i++) {
            services.put(f.name(), model(f));
          }
          List<ServerDigest> servers = new ArrayList<>();
          int m = bounded(f.header(), ProfileDigest.MAX_SERVERS);
          for (int i = 0; i < m; i++) {
            servers.add(server(f));
          }
          return new ProfileDigest(
              vm, startedMs, sequence, Map.copyOf(services), List.copyOf(servers));
        });
  }

  private static LearnedModel model(FieldReader f) throws IOException, MalformedResponseException {
    if (f.header() != MODEL_FIELDS) {
      throw new MalformedResponseException("malformed model in a profile digest");
    }
    List<Double> first = coefficients(f);
    long firstCount = f.size();
    List<Double> gap = coefficients(f);
    return new LearnedModel(first, firstCount, gap, f.size());
  }

  private static List<Double> coefficients(FieldReader f)
      throws IOException, MalformedResponseException {
    List<Double> values = new ArrayList<>();
    int n = bounded(f.header(), MAX_COEFFICIENTS);
    for (int i = 0; i < n; i++) {
      values.add(f.size() * COEFFICIENT_UNIT);
    }
    return List.copyOf(values);
  }

  private static ServerDigest server(FieldReader f) throws IOException, MalformedResponseException {
    if (f.header() != SERVER_FIELDS) {
      throw new MalformedResponseException("malformed server in a profile digest");
    }
    int key = (int) f.number();
    double meanLog = f.number() * SERVER_UNIT;
    return new ServerDigest(key, meanLog, f.size(), f.size() * SERVER_UNIT);
  }

  private static int bounded(int count, int limit) throws MalformedResponseException {
    if (count > limit) {
      throw new MalformedResponseException("too many elements in a profile digest: " + count);
    }
    return count;
  }
}
