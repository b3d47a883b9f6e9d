package org.cowslipyoke.relay.profile;

import java.util.List;
import java.util.Map;

/**
 * What one entry has learned about the engines.
 *
 * @param vm name of the entry
 * @param startedMs start time of the entry in Unix milliseconds; a restarted entry numbers its
 *     digests from the beginning
 * @param sequence number of the digest, increasing within a run of the entry
 * @param services coefficients by service
 * @param servers evidence about single servers; those with none are omitted
 */
public record ProfileDigest(
    String vm,
    long startedMs,
    long sequence,
    Map<String, LearnedModel> services,
    List<ServerDigest> servers) {

  /** Maximum number of services in a digest. */
  public static final int MAX_SERVICES = 16;

  /** Maximum number of servers in a digest. */
  public static final int MAX_SERVERS = 256;

  /**
   * Evidence about one server.
   *
   * @param key hash of the incarnation
   * @param meanLog mean logarithm of its times over those of a usual server of its service
   * @param count effective number of these times
   * @param slowness factor by which it is slow now, 1 if it is not
   */
  public record ServerDigest(int key, double meanLog, double count, double slowness) {}
}
