package org.cowslipyoke.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.rollout.RolloutReport;
import org.cowslipyoke.rollout.RolloutReport.ServiceReport;
import org.cowslipyoke.rollout.Series;
import org.cowslipyoke.rollout.Tally;
import org.cowslipyoke.util.MalformedResponseException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A report of rollouts as one datagram: a map with the key {@code rollout} and the array [format,
 * vm, started, sequence, table version, as of, owner, services]. A service is [name, rollout, step,
 * halted, requests, requests to the target, requests at old servers, tallies], a tally [route,
 * server, answers, failures, histogram]. Other reports are arrays.
 */
public final class RolloutReportCodec {

  private static final int FORMAT = 1;
  private static final int FIELDS = 8;
  private static final int SERVICE_FIELDS = 8;
  private static final int TALLY_FIELDS = 5;

  /** Maximum number of services, and of tallies of one service. */
  private static final int MAX_ITEMS = 256;

  private static final String KEY = "rollout";

  /** A MessagePack map with one entry whose key is {@link #KEY}. */
  private static final byte[] FIRST_BYTES = firstBytes();

  private RolloutReportCodec() {}

  private static byte[] firstBytes() {
    byte[] key = KEY.getBytes(StandardCharsets.US_ASCII);
    byte[] first = new byte[key.length + 2];
    first[0] = (byte) 0x81;
    first[1] = (byte) (0xa0 | key.length);
    System.arraycopy(key, 0, first, 2, key.length);
    return first;
  }

  /** Returns whether a datagram claims to be a report of rollouts. */
  public static boolean isReport(byte[] bytes, int length) {
    return length >= FIRST_BYTES.length
        && Arrays.equals(bytes, 0, FIRST_BYTES.length, FIRST_BYTES, 0, FIRST_BYTES.length);
  }

  /** Encodes a report. */
  public static byte[] encode(RolloutReport r) {
    return Datagrams.encode(
        p -> {
          p.packMapHeader(1).packString(KEY).packArrayHeader(FIELDS).packInt(FORMAT);
          p.packString(r.vm()).packLong(r.startedMs()).packLong(r.sequence());
          p.packLong(r.tableVersion()).packLong(r.asOfMs()).packBoolean(r.owner());
          p.packArrayHeader(r.services().size());
          for (ServiceReport s : r.services()) {
            pack(p, s);
          }
        });
  }

  private static void pack(MessageBufferPacker p, ServiceReport s) throws IOException {
    p.packArrayHeader(SERVICE_FIELDS).packString(s.service()).packLong(s.rolloutMs());
    p.packInt(s.step()).packString(s.halted()).packLong(s.requests());
    p.packLong(s.targetRequests()).packInt(s.oldInFlight());
    p.packArrayHeader(s.tallies().size());
    for (Map.Entry<Series, Tally> e : s.tallies().entrySet()) {
      Tally t = e.getValue();
      p.packArrayHeader(TALLY_FIELDS).packString(e.getKey().route());
      p.packString(e.getKey().server()).packLong(t.answers()).packLong(t.failures());
      List<Integer> used = new ArrayList<>();
      for (int i = 0; i < Tally.BUCKETS; i++) {
        if (t.time(i) > 0) {
          used.add(i);
        }
      }
      p.packMapHeader(used.size());
      for (int bucket : used) {
        p.packInt(bucket).packLong(t.time(bucket));
      }
    }
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static RolloutReport decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "rollout report",
        (u, f) -> {
          if (u.unpackMapHeader() != 1 || !f.name().equals(KEY) || f.header() != FIELDS) {
            throw new MalformedResponseException("unknown format of a rollout report");
          }
          if (f.count() != FORMAT) {
            throw new MalformedResponseException("unknown version of a rollout report");
          }
          String vm = f.name();
          final long startedMs = f.size();
          final long sequence = f.size();
          final long tableVersion = f.number();
          final long asOfMs = f.number();
          final boolean owner = f.flag();
          List<ServiceReport> services = new ArrayList<>();
          for (int n = bounded(f.header()); n > 0; n--) {
            services.add(service(u, f));
          }
          return new RolloutReport(
              vm, startedMs, sequence, tableVersion, asOfMs, owner, List.copyOf(services));
        });
  }

  private static ServiceReport service(MessageUnpacker u, FieldReader f)
      throws IOException, MalformedResponseException {
    requireFields(f, SERVICE_FIELDS);
    String name = f.name();
    final long rolloutMs = f.number();
    final int step = f.count();
    final String halted = f.name();
    final long requests = f.size();
    final long targetRequests = f.size();
    final int oldInFlight = f.count();
    Map<Series, Tally> tallies = new HashMap<>();
    for (int n = bounded(f.header()); n > 0; n--) {
      requireFields(f, TALLY_FIELDS);
      Series series = new Series(f.name(), f.name());
      long answers = f.size();
      long failures = f.size();
      long[] times = new long[Tally.BUCKETS];
      for (int buckets = bounded(u.unpackMapHeader()); buckets > 0; buckets--) {
        int bucket = f.count();
        if (bucket >= Tally.BUCKETS) {
          throw new MalformedResponseException("unknown bucket " + bucket);
        }
        times[bucket] = f.size();
      }
      tallies.put(series, new Tally(answers, failures, times));
    }
    return new ServiceReport(
        name, rolloutMs, step, halted, requests, targetRequests, oldInFlight, Map.copyOf(tallies));
  }

  private static void requireFields(FieldReader f, int n)
      throws IOException, MalformedResponseException {
    if (f.header() != n) {
      throw new MalformedResponseException("malformed item of a rollout report");
    }
  }

  private static int bounded(int n) throws MalformedResponseException {
    if (n > MAX_ITEMS) {
      throw new MalformedResponseException("too many items in a rollout report: " + n);
    }
    return n;
  }
}
