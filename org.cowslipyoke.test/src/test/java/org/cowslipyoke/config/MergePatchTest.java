package org.cowslipyoke.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against documents that differ between a process that got a patch and one that did not. */
class MergePatchTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The examples of RFC 7396, appendix A. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      quoteCharacter = '`',
      value = {
        "{\"a\":\"b\"}; {\"a\":\"c\"}; {\"a\":\"c\"}",
        "{\"a\":\"b\"}; {\"b\":\"c\"}; {\"a\":\"b\",\"b\":\"c\"}",
        "{\"a\":\"b\"}; {\"a\":null}; {}",
        "{\"a\":\"b\",\"b\":\"c\"}; {\"a\":null}; {\"b\":\"c\"}",
        "{\"a\":[\"b\"]}; {\"a\":\"c\"}; {\"a\":\"c\"}",
        "{\"a\":\"c\"}; {\"a\":[\"b\"]}; {\"a\":[\"b\"]}",
        "{\"a\":{\"b\":\"c\"}}; {\"a\":{\"b\":\"d\",\"c\":null}}; {\"a\":{\"b\":\"d\"}}",
        "{\"a\":[{\"b\":\"c\"}]}; {\"a\":[1]}; {\"a\":[1]}",
        "[\"a\",\"b\"]; [\"c\",\"d\"]; [\"c\",\"d\"]",
        "{\"a\":\"b\"}; [\"c\"]; [\"c\"]",
        "{\"a\":\"foo\"}; null; null",
        "{\"a\":\"foo\"}; \"bar\"; \"bar\"",
        "{\"e\":null}; {\"a\":1}; {\"e\":null,\"a\":1}",
        "[1,2]; {\"a\":\"b\",\"c\":null}; {\"a\":\"b\"}",
        "{}; {\"a\":{\"bb\":{\"ccc\":null}}}; {\"a\":{\"bb\":{}}}"
      })
  void appliesAsInRfc(String target, String patch, String result) throws JsonProcessingException {
    JsonNode t = MAPPER.readTree(target);
    JsonNode before = t.deepCopy();
    assertEquals(MAPPER.readTree(result), MergePatch.apply(t, MAPPER.readTree(patch)));
    assertEquals(before, t, "the target is not modified");
  }

  @Test
  void differenceAndCompositionLeadToSameDocument() {
    long seed = System.nanoTime();
    Random random = new Random(seed);
    for (int i = 0; i < 2_000; i++) {
      String at = "seed " + seed + ", case " + i;
      ObjectNode a = randomObject(random, 0);
      ObjectNode b = randomObject(random, 0);
      ObjectNode c = randomObject(random, 0);
      ObjectNode ab = MergePatch.diff(a, b);
      ObjectNode bc = MergePatch.diff(b, c);
      assertEquals(b, MergePatch.apply(a, ab), at);
      MergePatch.compose(ab, bc).ifPresent(p -> assertEquals(c, MergePatch.apply(a, p), at));
    }
  }

  /** An entry that is removed and added again must not keep values of the removed one. */
  @Test
  void removalFollowedByAdditionIsNotComposed() throws JsonProcessingException {
    ObjectNode remove = (ObjectNode) MAPPER.readTree("{\"o\":{\"x\":null}}");
    ObjectNode add = (ObjectNode) MAPPER.readTree("{\"o\":{\"x\":{\"b\":1}}}");
    assertTrue(MergePatch.compose(remove, add).isEmpty());
  }

  private static ObjectNode randomObject(Random random, int depth) {
    ObjectNode n = MAPPER.createObjectNode();
    for (int i = random.nextInt(4); i > 0; i--) {
      String key = "k" + random.nextInt(4);
      if (depth < 3 && random.nextBoolean()) {
        n.set(key, randomObject(random, depth + 1));
      } else {
        n.put(key, random.nextInt(3));
      }
    }
    return n;
  }
}
