package review;

import java.nio.file.Path;

/** Runs a case and ends the process with its verdict. */
final class Verdict {

  /** A case; returns 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
  interface Case {
    int play(Record record) throws Exception;
  }

  private static final int BROKEN = 10;

  private Verdict() {}

  /** Ends with 0 if the rule held, {@link #BROKEN} if it was broken, 2 otherwise. */
  static void exit(Path recordFile, Case c) {
    int result = 2;
    try (Record record = new Record(recordFile)) {
      result = c.play(record);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result == 1 ? BROKEN : result);
  }
}
