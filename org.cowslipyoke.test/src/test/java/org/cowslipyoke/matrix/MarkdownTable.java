package org.cowslipyoke.matrix;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Table with a row for each fault and a column for each step. */
final class MarkdownTable {

  private final String corner;
  private final Step[] steps;
  private final Map<Fault, List<String>> rows = new EnumMap<>(Fault.class);

  MarkdownTable(String corner, Step[] steps) {
    this.corner = corner;
    this.steps = steps.clone();
  }

  void add(Fault fault, Step step, String text) {
    List<String> row = rows.computeIfAbsent(fault, f -> new ArrayList<>());
    if (steps[row.size()] != step) {
      throw new IllegalStateException("cells must be added in the order of the steps");
    }
    row.add(text);
  }

  @Override
  public String toString() {
    StringBuilder b = new StringBuilder("| ").append(corner);
    for (Step s : steps) {
      b.append(" | ").append(s.name().toLowerCase(Locale.ROOT));
    }
    b.append(" |\n|").append("---|".repeat(steps.length + 1)).append('\n');
    rows.forEach(
        (f, cells) ->
            b.append("| ")
                .append(f)
                .append(cells.stream().collect(Collectors.joining(" | ", " | ", " |\n"))));
    return b.toString();
  }
}
