package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file. */
final class Record implements AutoCloseable {

  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
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
