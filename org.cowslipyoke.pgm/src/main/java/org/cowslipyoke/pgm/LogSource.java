package org.cowslipyoke.pgm;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;

/**
 * Log lines that are read twice: a file from its start, standard input and pipes from a bounded
 * memory of the first reading.
 */
final class LogSource {

  static final String STANDARD_INPUT = "-";

  /** Characters of a pipe that are kept for the second reading. */
  static final int MAX_KEPT_CHARS = 12 << 20;

  private final String file;
  private final InputStream standardInput;
  private final int maxKeptChars;
  private final Deque<String> kept = new ArrayDeque<>();
  private long keptChars;
  private long forgotten;
  private boolean found;

  LogSource(String file, InputStream standardInput, int maxKeptChars) {
    this.file = file;
    this.standardInput = standardInput;
    this.maxKeptChars = maxKeptChars;
  }

  /** Returns what stands for the VM where lines name none: the file's name without its ending. */
  String name() {
    Path name = Path.of(file).getFileName();
    return name == null ? file : name.toString().replaceFirst("\\.(log|json|txt)$", "");
  }

  /** Returns the number of lines that the second reading lacks. */
  long forgotten() {
    return forgotten;
  }

  private boolean isReadOnce() {
    Path p = Path.of(file);
    boolean pipe = Files.exists(p) && !Files.isRegularFile(p) && !Files.isDirectory(p);
    return pipe || file.equals(STANDARD_INPUT);
  }

  /**
   * Reads all lines for the first time.
   *
   * @param sink takes a line and returns whether the second reading needs it
   * @param isFound whether a line of the request has been seen
   */
  void readFirst(Predicate<String> sink, BooleanSupplier isFound) throws CommandException {
    boolean once = isReadOnce();
    read(
        l -> {
          if (sink.test(l) && once) {
            keep(l, isFound.getAsBoolean());
          }
        });
  }

  /** Reads the lines again. */
  void readAgain(Consumer<String> sink) throws CommandException {
    if (isReadOnce()) {
      kept.forEach(sink);
    } else {
      read(sink);
    }
  }

  /** Keeps the newest lines until the request is found; then half of the room is for later ones. */
  private void keep(String line, boolean nowFound) {
    if (nowFound && !found) {
      found = true;
      trim(maxKeptChars / 2);
    }
    if (found && keptChars + line.length() > maxKeptChars) {
      forgotten++;
      return;
    }
    kept.add(line);
    keptChars += line.length();
    trim(maxKeptChars);
  }

  private void trim(int chars) {
    while (keptChars > chars) {
      keptChars -= kept.remove().length();
      forgotten++;
    }
  }

  private void read(Consumer<String> sink) throws CommandException {
    try (BoundedLines lines = new BoundedLines(open())) {
      for (String l = lines.next(); l != null; l = lines.next()) {
        sink.accept(l);
      }
    } catch (IOException e) {
      String m = String.format(Texts.UNREADABLE, file, e.getClass().getSimpleName());
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
  }

  private InputStream open() throws IOException {
    return file.equals(STANDARD_INPUT) ? standardInput : Files.newInputStream(Path.of(file));
  }
}
