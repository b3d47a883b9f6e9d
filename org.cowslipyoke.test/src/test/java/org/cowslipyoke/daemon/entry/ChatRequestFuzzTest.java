package org.cowslipyoke.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Guards against bodies of model requests whose parser fails instead of refusing them. */
class ChatRequestFuzzTest {

  private static final byte[] VALID =
      EntryFixture.BODY
          .replace("{\"model", "{\"stream\":true,\"max_tokens\":5,\"model")
          .getBytes(UTF_8);

  @Property(tries = 20_000)
  void alteredBodiesAreParsedOrRefused(@ForAll @Size(max = 6) int[] edits) {
    byte[] b = VALID.clone();
    for (int e : edits) {
      b[Math.floorMod(e >> 8, b.length)] = (byte) e;
    }
    var unused = ChatRequest.parse(b);
  }

  @Property(tries = 5_000)
  void randomBodiesAreParsedOrRefused(@ForAll @Size(max = 200) byte[] bytes) {
    var unused = ChatRequest.parse(bytes);
  }
}
