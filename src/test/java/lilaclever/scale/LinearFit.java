package lilaclever.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares line through measured values: the cost of one more unit of the size, and the deviation of the values
 * from a line.
 *
 * @param perUnit slope: growth of the value with each unit of the size
 * @param intercept the line's value at size 0
 * @param rSquared coefficient of determination, 0 to 1
 * @param rmsResidual root mean square of the residuals, in the value's unit
 * @param maxRelativeResidual the largest residual, as part of the largest absolute value
 */
record LinearFit(double perUnit, double intercept, double rSquared, double rmsResidual, double maxRelativeResidual) {
    /** A measured value at a size. */
    record Point(double size, double value) {}

    private static final int MIN_SIZES = 2;

    /** Fits a line through the points, which must have at least two different sizes. */
    static LinearFit fit(List<Point> points) {
        if (points.stream().mapToDouble(Point::size).distinct().count() < MIN_SIZES) {
            throw new IllegalArgumentException("a line needs at least two sizes");
        }
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.size(), point.value()));
        double maxResidual = points.stream()
                .mapToDouble(point -> Math.abs(point.value() - line.predict(point.size())))
                .max()
                .orElse(0);
        double largest = points.stream()
                .mapToDouble(point -> Math.abs(point.value()))
                .max()
                .orElse(0);
        return new LinearFit(
                line.getSlope(),
                line.getIntercept(),
                line.getRSquare(),
                Math.sqrt(line.getSumSquaredErrors() / points.size()),
                largest == 0 ? 0 : maxResidual / largest);
    }

    /** The line's value at the given size. */
    double valueAt(double size) {
        return intercept + perUnit * size;
    }
}
