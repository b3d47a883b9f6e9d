package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.function.Supplier;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.WeightStatements;
import org.cowslipyoke.transport.WeightStatementCodec;
import org.cowslipyoke.util.MalformedResponseException;

/** Tells the other entries which servers load weights, while this entry gives the orders. */
public final class WeightReports implements PeerReportChannel {

  private final WeightStatements statements;
  private final Supplier<FleetState> state;

  /** Creates the exchange. */
  public WeightReports(WeightStatements statements, Supplier<FleetState> state) {
    this.statements = statements;
    this.state = state;
  }

  @Override
  public boolean isReport(byte[] bytes, int length) {
    return WeightStatementCodec.isReport(bytes, length);
  }

  @Override
  public void accept(byte[] bytes, int length) throws MalformedResponseException {
    statements.accept(WeightStatementCodec.decode(bytes, length), state.get());
  }

  @Override
  public List<byte[]> takeDue() {
    return statements.takeDue(WeightStatementCodec.MAX_STATEMENTS).stream()
        .map(WeightStatementCodec::encode)
        .toList();
  }
}
