package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.profile.LearnedModel;
import org.cowslipyoke.relay.profile.ProfileDigest;
import org.cowslipyoke.relay.profile.ProfileDigest.ServerDigest;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class ProfileDigestCodecTest {

  static ProfileDigest digest(int servers) {
    LearnedModel model =
        new LearnedModel(List.of(1.5, 0.25, 1.0, 0.5, 2.0), 120, List.of(1.0, 0.5, 0.0), 300);
    return new ProfileDigest(
        "edge-1",
        1_700_000_000_000L,
        7,
        Map.of("engines", model),
        IntStream.range(0, servers)
            .mapToObj(i -> new ServerDigest(-i * 1_000_003, -0.25, 20, 1.5))
            .toList());
  }

  @Test
  void decodesWhatItEncodes() throws MalformedResponseException {
    byte[] bytes = ProfileDigestCodec.encode(digest(3));
    assertTrue(ProfileDigestCodec.isDigest(bytes, bytes.length));
    assertEquals(digest(3), ProfileDigestCodec.decode(bytes, bytes.length));
    byte[] loads = LoadReportCodec.encode(new Report("edge-1", 1, 1, Map.of()));
    assertFalse(ProfileDigestCodec.isDigest(loads, loads.length));
  }

  /** Guards against digests that exceed a datagram or cost much between failure domains. */
  @Test
  void staysSmall() {
    assertTrue(ProfileDigestCodec.encode(digest(36)).length < 500);
    assertTrue(
        ProfileDigestCodec.encode(digest(ProfileDigest.MAX_SERVERS)).length
            < LoadReportCodec.MAX_BYTES);
  }

  /** Guards against memory allocated for what a malformed datagram claims. */
  @Test
  void refusesMalformedDigests() {
    byte[] large = ProfileDigestCodec.encode(digest(ProfileDigest.MAX_SERVERS + 1));
    assertThrows(
        MalformedResponseException.class, () -> ProfileDigestCodec.decode(large, large.length));
    byte[] whole = ProfileDigestCodec.encode(digest(2));
    for (int length = 0; length < whole.length; length++) {
      int cut = length;
      assertThrows(MalformedResponseException.class, () -> ProfileDigestCodec.decode(whole, cut));
    }
  }
}
