package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Counters of an engine; guarded by the engine model. */
final class EngineStats {

  long completed;
  long cancelled;
  long abandoned;
  long generated;
  long exported;
  long imported;
  long corruptImports;
  int maxBatch;
  private long submitted;
  private long prefilled;
  private long reused;
  private long recomputed;
  private long corruptBlocksUsed;
  private long prefixMismatches;
  private long crashes;
  private String lastCrash = "";
  private final NewWorkCounter newWork = new NewWorkCounter();

  void submitted(EngineRun r) {
    submitted++;
    newWork.add();
    prefixMismatches += r.prefixMatches ? 0 : 1;
  }

  /**
   * Counts the prefill of a run.
   *
   * @param recomputedTokens tokens of blocks that this engine had computed before
   * @param corruptBlocks corrupt cached blocks that the run used
   */
  void prefillStarted(EngineRun r, int recomputedTokens, int corruptBlocks) {
    prefilled += r.recomputed;
    reused += r.reused;
    recomputed += recomputedTokens;
    corruptBlocksUsed += corruptBlocks;
  }

  void crashed(String reason) {
    crashes++;
    lastCrash = reason;
  }

  void write(ObjectNode out) {
    out.put("submitted", submitted).put("completed", completed).put("cancelled", cancelled);
    out.put("abandoned", abandoned).put("generatedTokens", generated);
    out.put("prefilledTokens", prefilled).put("reusedTokens", reused);
    out.put("recomputedTokens", recomputed).put("maxRunning", maxBatch);
    out.put("exportedBlocks", exported).put("importedBlocks", imported);
    out.put("corruptImports", corruptImports).put("corruptBlocksUsed", corruptBlocksUsed);
    out.put("prefixMismatches", prefixMismatches);
    out.put("crashes", crashes).put("lastCrash", lastCrash);
    newWork.write(out);
  }
}
