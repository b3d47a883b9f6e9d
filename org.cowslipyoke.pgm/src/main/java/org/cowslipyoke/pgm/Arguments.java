package org.cowslipyoke.pgm;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/** Parsed command line. Accessors throw {@link UsageException} on missing or malformed options. */
final class Arguments {

  private static final List<String> WITH_VALUE =
      List.of(
          Messages.TABLE,
          Messages.VMS,
          Messages.SECTION,
          Messages.CREDENTIAL_FILE,
          Messages.REASON,
          Messages.WHO,
          Messages.EXPECT_VERSION,
          Messages.CHANGE_ID,
          Messages.LIMIT,
          Messages.HTTP_PORT,
          Messages.READY_LINES,
          Messages.REQUEST,
          Messages.WINDOW,
          Messages.AGAINST);

  private static final List<String> SWITCHES =
      List.of(Messages.JSON, Messages.HELP, Messages.VERSION);

  private final CommandLine line;

  private Arguments(CommandLine line) {
    this.line = line;
  }

  static Arguments parse(String[] args) throws UsageException {
    Options options = new Options();
    WITH_VALUE.forEach(o -> options.addOption(Option.builder().longOpt(o).hasArg().get()));
    SWITCHES.forEach(o -> options.addOption(Option.builder().longOpt(o).get()));
    try {
      return new Arguments(new DefaultParser(false).parse(options, args));
    } catch (ParseException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
  }

  boolean has(String option) {
    return line.hasOption(option);
  }

  /** Returns the arguments that are not options: the words of the command and the files. */
  List<String> words() {
    return line.getArgList();
  }

  Optional<String> value(String option) {
    return Optional.ofNullable(line.getOptionValue(option));
  }

  String required(String option) throws UsageException {
    String v = line.getOptionValue(option);
    if (v == null || v.isEmpty()) {
      throw new UsageException(String.format(Messages.MISSING_OPTION, option));
    }
    return v;
  }

  URI url(String option) throws UsageException {
    String v = required(option);
    try {
      URI uri = URI.create(v);
      if (uri.getHost() != null) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw new UsageException(String.format(Messages.NOT_A_URL, option, v));
    }
    throw new UsageException(String.format(Messages.NOT_A_URL, option, v));
  }

  Optional<Long> number(String option) throws UsageException {
    String v = line.getOptionValue(option);
    if (v == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Long.parseLong(v));
    } catch (NumberFormatException e) {
      throw new UsageException(String.format(Messages.NOT_A_NUMBER, option, v));
    }
  }

  Section section() throws UsageException {
    var s = Section.parse(required(Messages.SECTION));
    if (s.isLeft()) {
      throw new UsageException(s.getLeft().message());
    }
    return s.get();
  }

  /** Returns the file that follows the command words; it must be the last argument. */
  String fileAfter(int words) throws UsageException {
    if (words().size() <= words) {
      throw new UsageException(Messages.MISSING_FILE);
    }
    requireAtMost(words + 1);
    return words().get(words);
  }

  void requireAtMost(int words) throws UsageException {
    if (words().size() > words) {
      throw new UsageException(String.format(Messages.EXTRA_ARGUMENT, words().get(words)));
    }
  }

  static String readFile(String file) throws CommandException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      String m = String.format(Messages.FILE_NOT_READABLE, file, e.getClass().getSimpleName());
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
  }

  /** Reports an invalid command line; exit code 2. */
  static final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
      super(message);
    }
  }

  /** Reports that the command was refused or failed; exit code 1. */
  static final class CommandException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient Failure failure;

    CommandException(Failure failure) {
      super(failure.message());
      this.failure = failure;
    }

    Failure failure() {
      return failure;
    }
  }
}
