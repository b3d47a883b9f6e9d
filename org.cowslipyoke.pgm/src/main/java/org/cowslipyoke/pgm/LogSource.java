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
 * Source of log lines that is read in two passes. The second pass reads a file again from its
 * start, but standard input and pipes from a bounded buffer that the first pass filled.
 */
final class LogSource {

  static final String STANDARD_INPUT = "-";

  /** Maximum number of characters of all streams that are buffered for the second pass. */
  static final int MAX_BUFFERED_CHARS = 12 << 20;

  private final String file;
  private final InputStream standardInput;
  private final int maxBufferedChars;
  private final Deque<String> buffered = new ArrayDeque<>();
  private long bufferedChars;
  private long droppedLines;
  private boolean requestFound;

  LogSource(String file, InputStream standardInput, int maxBufferedChars) {
    this.file = file;
    this.standardInput = standardInput;
    this.maxBufferedChars = maxBufferedChars;
  }

  /** Returns the file name without its extension, used as the VM of lines that name none. */
  String name() {
    Path name = Path.of(file).getFileName();
    return name == null ? file : name.toString().replaceFirst("\\.(log|json|txt)$", "");
  }

  /** Returns the number of lines that did not fit the buffer and are missing in the second pass. */
  long droppedLines() {
    return droppedLines;
  }

  private boolean isStream() {
    Path p = Path.of(file);
    boolean pipe = Files.exists(p) && !Files.isRegularFile(p) && !Files.isDirectory(p);
    return pipe || file.equals(STANDARD_INPUT);
  }

  /**
   * Reads all lines for the first pass.
   *
   * @param sink accepts a line and returns whether the second pass needs it
   * @param isFound whether a line of the request has been seen
   */
  void readFirstPass(Predicate<String> sink, BooleanSupplier isFound) throws CommandException {
    boolean stream = isStream();
    read(
        l -> {
          if (sink.test(l) && stream) {
            buffer(l, isFound.getAsBoolean());
          }
        });
  }

  /** Reads the lines for the second pass. */
  void readSecondPass(Consumer<String> sink) throws CommandException {
    if (isStream()) {
      buffered.forEach(sink);
    } else {
      read(sink);
    }
  }

  /**
   * Buffers a line. Until the request is found, the newest lines replace the oldest ones; from then
   * on half of the buffer is reserved for later lines.
   */
  private void buffer(String line, boolean foundNow) {
    if (foundNow && !requestFound) {
      requestFound = true;
      dropOldest(maxBufferedChars / 2);
    }
    if (requestFound && bufferedChars + line.length() > maxBufferedChars) {
      droppedLines++;
      return;
    }
    buffered.add(line);
    bufferedChars += line.length();
    dropOldest(maxBufferedChars);
  }

  private void dropOldest(int maxChars) {
    while (bufferedChars > maxChars) {
      bufferedChars -= buffered.remove().length();
      droppedLines++;
    }
  }

  private void read(Consumer<String> sink) throws CommandException {
    try (BoundedLineReader lines = new BoundedLineReader(open())) {
      for (String l = lines.readLine(); l != null; l = lines.readLine()) {
        sink.accept(l);
      }
    } catch (IOException e) {
      String m = String.format(Messages.FILE_NOT_READABLE, file, e.getClass().getSimpleName());
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
  }

  private InputStream open() throws IOException {
    return file.equals(STANDARD_INPUT) ? standardInput : Files.newInputStream(Path.of(file));
  }
}
