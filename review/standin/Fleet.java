package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Entries of a small deployment, all ready. */
final class Fleet implements AutoCloseable {

  private final List<Entry> entries = new ArrayList<>();

  Fleet(Path folder, int size, String store) throws Exception {
    try {
      for (int i = 1; i <= size; i++) {
        entries.add(new Entry(folder, "edge-santarem-" + i, store));
      }
      for (Entry e : entries) {
        e.awaitReady();
      }
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  /** Returns the entry that callers use and that is disrupted. */
  Entry first() {
    return entries.get(0);
  }

  @Override
  public void close() throws InterruptedException {
    for (Entry e : entries) {
      e.close();
    }
  }
}
