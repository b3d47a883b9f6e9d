package org.cowslipyoke.pgm;

import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.pgm.story.ContextCollector;
import org.cowslipyoke.pgm.story.Diagnosis;
import org.cowslipyoke.pgm.story.LogLine;
import org.cowslipyoke.pgm.story.LogLineParser;
import org.cowslipyoke.pgm.story.RequestSearch;
import org.cowslipyoke.pgm.story.RequestTrace;

/**
 * Implements the command {@code explain}. Reads the logs twice, first for the lines of the request
 * and then for the context around it, so that memory use does not grow with the size of the logs.
 */
final class ExplainCommand {

  /** Default of {@code --window}; servers leave the list and loads end within some seconds. */
  private static final long DEFAULT_WINDOW_S = 10;

  private static final long MAX_WINDOW_S = 86_400;

  /** Default of {@code --limit}, the maximum number of context lines printed. */
  private static final long DEFAULT_LIMIT = 40;

  private final Arguments args;
  private final Output out;
  private final InputStream standardInput;
  private long unparsedLines;

  ExplainCommand(Arguments args, Output out, InputStream standardInput) {
    this.args = args;
    this.out = out;
    this.standardInput = standardInput;
  }

  void call() throws UsageException, CommandException {
    String request = args.required(Messages.REQUEST);
    long windowMs = 1_000 * numberInRange(0, Messages.WINDOW, DEFAULT_WINDOW_S, MAX_WINDOW_S);
    final int limit = (int) numberInRange(1, Messages.LIMIT, DEFAULT_LIMIT, 1_000);
    List<LogSource> sources = sources();
    RequestSearch search = new RequestSearch(request);
    for (LogSource s : sources) {
      s.readFirstPass(l -> acceptFirstPass(l, s, search), search::isFound);
    }
    TraceReport report = new TraceReport(search, unparsedLines);
    if (!search.isFound()) {
      throw new CommandException(
          Failure.of(ErrorKind.NOT_FOUND, String.join("\n", report.notFound())));
    }
    ContextCollector context = new ContextCollector(search, windowMs);
    for (LogSource s : sources) {
      s.readSecondPass(l -> LogLineParser.parse(l, s.name()).ifPresent(context::accept));
    }
    RequestTrace trace = context.trace();
    long droppedLines = sources.stream().mapToLong(LogSource::droppedLines).sum();
    report.print(out, trace, Diagnosis.of(trace).call(), limit, droppedLines);
  }

  private boolean acceptFirstPass(String line, LogSource source, RequestSearch search) {
    Optional<LogLine> l = LogLineParser.parse(line, source.name());
    if (l.isEmpty() && !line.isBlank()) {
      unparsedLines++;
    }
    l.ifPresent(search::accept);
    return l.isPresent() && l.get().isKnownEvent();
  }

  private List<LogSource> sources() throws UsageException {
    List<String> files = args.words().subList(1, args.words().size());
    if (files.isEmpty()) {
      throw new UsageException(Messages.MISSING_FILES);
    }
    List<LogSource> sources = new ArrayList<>();
    for (String f : files) {
      sources.add(new LogSource(f, standardInput, LogSource.MAX_BUFFERED_CHARS / files.size()));
    }
    return sources;
  }

  private long numberInRange(long min, String option, long defaultValue, long max)
      throws UsageException {
    long v = args.number(option).orElse(defaultValue);
    if (v < min || v > max) {
      throw new UsageException(String.format(Messages.OUT_OF_RANGE, option, v, min, max));
    }
    return v;
  }
}
