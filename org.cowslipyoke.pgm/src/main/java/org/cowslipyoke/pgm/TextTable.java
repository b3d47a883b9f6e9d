package org.cowslipyoke.pgm;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Formats rows of text into aligned columns. */
final class TextTable {

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... header) {
    rows.add(Arrays.asList(header));
  }

  void add(Object... cells) {
    rows.add(Arrays.stream(cells).map(String::valueOf).toList());
  }

  List<String> lines() {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> r : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], r.get(i).length());
      }
    }
    return rows.stream().map(r -> line(r, widths)).toList();
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      b.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
    }
    return b.toString().stripTrailing();
  }
}
