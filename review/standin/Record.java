package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt in the folder of a case. */
final class Record implements AutoCloseable {

  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path folder) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
  }

  synchronized void log(String format, Object... args) {
    String line =
        String.format("%8.3f s  ", (System.nanoTime() - startNs) / 1e9)
            + String.format(format, args);
    out.println(line);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
