package org.cowslipyoke.transport;

/** Limits of the fields of a message. */
final class FieldLimits {

  /** Names, ids and explanations. */
  static final int NAME_BYTES = 2048;

  /** Pieces of an answer, paths and header values. */
  static final int TEXT_BYTES = 64 * 1024;

  /** Pieces in one frame, or header names and values. */
  static final int TEXTS = 4096;

  /** Covers a prompt of 4 million tokens, more than a frame can hold. */
  static final int BLOCK_KEYS = 4096;

  private FieldLimits() {}
}
