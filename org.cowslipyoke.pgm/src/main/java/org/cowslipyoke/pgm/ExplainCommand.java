package org.cowslipyoke.pgm;

import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.pgm.story.Diagnosis;
import org.cowslipyoke.pgm.story.LogLine;
import org.cowslipyoke.pgm.story.LogLineParser;
import org.cowslipyoke.pgm.story.RequestSearch;
import org.cowslipyoke.pgm.story.Story;
import org.cowslipyoke.pgm.story.Surroundings;

/**
 * The command {@code explain}. Reads the logs twice, first for the request and then for what
 * happened around it, so that memory does not grow with the logs.
 */
final class ExplainCommand {

  /** Default of {@code --window}: servers leave the list and loads end within some seconds. */
  private static final long WINDOW_S = 10;

  private static final long MAX_WINDOW_S = 86_400;

  /** Default of {@code --limit}: lines beside the request that are printed. */
  private static final long SHOWN = 40;

  private final Arguments args;
  private final Output out;
  private final InputStream standardInput;
  private long unread;

  ExplainCommand(Arguments args, Output out, InputStream standardInput) {
    this.args = args;
    this.out = out;
    this.standardInput = standardInput;
  }

  void call() throws UsageException, CommandException {
    String request = args.required(Texts.REQUEST);
    long windowMs = 1_000 * atLeast(0, Texts.WINDOW, WINDOW_S, MAX_WINDOW_S);
    final int shown = (int) atLeast(1, Texts.LIMIT, SHOWN, 1_000);
    List<LogSource> sources = sources();
    RequestSearch search = new RequestSearch(request);
    for (LogSource s : sources) {
      s.readFirst(l -> first(l, s, search), search::isFound);
    }
    StoryReport report = new StoryReport(search, unread);
    if (!search.isFound()) {
      throw new CommandException(
          Failure.of(ErrorKind.NOT_FOUND, String.join("\n", report.notFound())));
    }
    Surroundings surroundings = new Surroundings(search, windowMs);
    for (LogSource s : sources) {
      s.readAgain(l -> LogLineParser.parse(l, s.name()).ifPresent(surroundings::accept));
    }
    Story story = surroundings.story();
    long forgotten = sources.stream().mapToLong(LogSource::forgotten).sum();
    report.print(out, story, Diagnosis.of(story).call(), shown, forgotten);
  }

  private boolean first(String line, LogSource source, RequestSearch search) {
    Optional<LogLine> l = LogLineParser.parse(line, source.name());
    if (l.isEmpty() && !line.isBlank()) {
      unread++;
    }
    l.ifPresent(search::accept);
    return l.isPresent() && l.get().isUseful();
  }

  private List<LogSource> sources() throws UsageException {
    List<String> files = args.words().subList(1, args.words().size());
    if (files.isEmpty()) {
      throw new UsageException(Texts.MISSING_FILES);
    }
    List<LogSource> sources = new ArrayList<>();
    for (String f : files) {
      sources.add(new LogSource(f, standardInput, LogSource.MAX_KEPT_CHARS / files.size()));
    }
    return sources;
  }

  private long atLeast(long min, String option, long standard, long max) throws UsageException {
    long v = args.number(option).orElse(standard);
    if (v < min || v > max) {
      throw new UsageException(String.format(Texts.OUT_OF_RANGE, option, v, min, max));
    }
    return v;
  }
}
