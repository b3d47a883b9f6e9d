package org.cowslipyoke.pgm.story;

import java.util.Arrays;
import java.util.List;

/**
 * Cause with the values that its description names.
 *
 * @param values arguments of the message format of the cause, in order
 */
public record Finding(Cause cause, List<String> values) {

  static Finding of(Cause cause, Object... values) {
    return new Finding(cause, Arrays.stream(values).map(String::valueOf).toList());
  }
}
