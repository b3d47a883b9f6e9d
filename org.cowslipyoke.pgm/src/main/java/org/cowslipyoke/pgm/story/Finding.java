package org.cowslipyoke.pgm.story;

import java.util.Arrays;
import java.util.List;

/**
 * A cause with what its text names.
 *
 * @param values in the order of the text
 */
public record Finding(Cause cause, List<String> values) {

  static Finding of(Cause cause, Object... values) {
    return new Finding(cause, Arrays.stream(values).map(String::valueOf).toList());
  }
}
