package org.cowslipyoke.transport;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.cowslipyoke.message.Envelope;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Guards against decoders of bytes from other processes that fail in another way than with a
 * refusal of the bytes, or that never end. jqwik prints the seed of each property.
 */
class DecoderFuzzTest {

  private static final int TRIES = 20_000;

  private interface Decoder {
    Object decode(byte[] bytes, int length) throws MalformedResponseException;
  }

  /** A decoder with a valid input, which the tests alter. */
  private record Case(Decoder decoder, byte[] valid) {}

  private static final List<Case> CASES = cases();

  private static List<Case> cases() {
    List<Case> all =
        new ArrayList<>(
            List.of(
                new Case(
                    CacheEventCodec::decode, CacheEventCodec.encode(CacheEventCodecTest.BATCH)),
                new Case(
                    LoadReportCodec::decode, LoadReportCodec.encode(LoadReportCodecTest.REPORT)),
                new Case(
                    LostEnginesCodec::decode, LostEnginesCodec.encode(List.of("s1@1", "s2@7"))),
                new Case(
                    PartReportCodec::decode, PartReportCodec.encode(PartReportCodecTest.REPORT)),
                new Case(
                    ProfileDigestCodec::decode,
                    ProfileDigestCodec.encode(ProfileDigestCodecTest.digest(3))),
                new Case(RelayedReportCodec::decode, RelayedReportCodec.encode(7, new byte[9])),
                new Case(
                    RolloutReportCodec::decode,
                    RolloutReportCodec.encode(RolloutReportCodecTest.report(3))),
                new Case(
                    SuspectReportCodec::decode,
                    SuspectReportCodec.encode(SuspectReportCodecTest.REPORT)),
                new Case(
                    TableConfirmationCodec::decode,
                    TableConfirmationCodec.encode(TableConfirmationCodecTest.MESSAGE))));
    Decoder messages = (b, n) -> MessageCodec.decode(Arrays.copyOf(b, n));
    Messages.all()
        .forEach(
            m -> all.add(new Case(messages, MessageCodec.encode(new Envelope(1, 2, 3, m)).get())));
    return all;
  }

  @Property(tries = TRIES)
  void alteredBytesAreDecodedOrRefused(@ForAll int which, @ForAll @Size(max = 8) int[] edits) {
    Case c = CASES.get(Math.floorMod(which, CASES.size()));
    byte[] b = c.valid().clone();
    for (int e : edits) {
      b[Math.floorMod(e >> 8, b.length)] = (byte) e;
    }
    int length = edits.length % 2 == 0 ? b.length : Math.floorMod(which, b.length + 1);
    decode(c.decoder(), b, length);
  }

  @Property(tries = TRIES)
  void randomBytesAreDecodedOrRefused(
      @ForAll int which, @ForAll @Size(max = 200) byte[] bytes, @ForAll boolean withPrefix) {
    Case c = CASES.get(Math.floorMod(which, CASES.size()));
    byte[] b = bytes.clone();
    if (withPrefix) {
      System.arraycopy(c.valid(), 0, b, 0, Math.min(8, Math.min(b.length, c.valid().length)));
    }
    decode(c.decoder(), b, b.length);
  }

  private static void decode(Decoder d, byte[] bytes, int length) {
    try {
      d.decode(bytes, length);
    } catch (MalformedResponseException e) {
      // The bytes are refused.
    }
  }
}
